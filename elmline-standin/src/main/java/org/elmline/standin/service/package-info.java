/** A plain booking service whose calls are counted, with settable faults. */
package org.elmline.standin.service;
