package org.elmline.daemon.settings;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonValue;

/** Role of a process, given in its settings file in the field {@code role}. */
public enum ProcessRole {
    ENTRY("entry", EntrySettings.class),
    CONTROL("control", ControlSettings.class),
    STANDIN_ENGINE("standin-engine", StandinEngineSettings.class),
    STANDIN_SERVICE("standin-service", StandinServiceSettings.class);

    private final String settingValue;
    private final Class<? extends Settings> settingsType;

    ProcessRole(String settingValue, Class<? extends Settings> settingsType) {
        this.settingValue = settingValue;
        this.settingsType = settingsType;
    }

    /** Value of the field {@code role}, and name of the role's schema. */
    @JsonValue
    public String settingValue() {
        return settingValue;
    }

    Class<? extends Settings> settingsType() {
        return settingsType;
    }

    static Optional<ProcessRole> of(String settingValue) {
        for (ProcessRole role : values()) {
            if (role.settingValue.equals(settingValue)) {
                return Optional.of(role);
            }
        }
        return Optional.empty();
    }
}
