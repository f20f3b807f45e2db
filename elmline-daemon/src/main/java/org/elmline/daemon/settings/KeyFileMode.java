package org.elmline.daemon.settings;

/** Whether a check opens the key files that settings refer to. */
public enum KeyFileMode {
    /** Each key file must be readable; a process that starts needs this. */
    READ,
    /** Key files may be missing; for checking settings on another machine than the one they are for. */
    SKIP
}
