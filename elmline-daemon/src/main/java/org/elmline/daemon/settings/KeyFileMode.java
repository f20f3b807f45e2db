package org.elmline.daemon.settings;

/** Whether key files that the settings refer to are read. */
public enum KeyFileMode {
    /** Each key file must be readable, as for the start of a process. */
    READ,
    /** Key files are not opened and may be missing, as for checking settings on a machine other than their own. */
    SKIP
}
