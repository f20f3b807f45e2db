/** A model engine as a process: the engine model in real time behind HTTP, with settable faults. */
package org.elmline.standin.engine;
