/**
 * Memory that one process holds for slow readers: a bounded account of the bytes of open calls, and the bytes that each
 * backend server has not answered yet.
 */
package org.elmline.core.memory;
