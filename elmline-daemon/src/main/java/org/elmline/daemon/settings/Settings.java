package org.elmline.daemon.settings;

/** The settings of one process, complete and checked. */
public sealed interface Settings permits EntrySettings, ControlSettings, StandinEngineSettings, StandinServiceSettings {
    ProcessRole role();

    LogSettings log();
}
