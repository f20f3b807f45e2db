/** Stand-in model engine: the engine model in real time behind HTTP, with configurable faults. */
package org.elmline.standin.engine;
