package org.elmline.daemon.settings;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonValue;

/** What a process does; its settings file names it in the field {@code role}. */
public enum Role {
    ENTRY("entry", EntrySettings.class),
    CONTROL("control", ControlSettings.class),
    STANDIN_ENGINE("standin-engine", StandinEngineSettings.class),
    STANDIN_SERVICE("standin-service", StandinServiceSettings.class);

    private final String word;
    private final Class<? extends Settings> type;

    Role(String word, Class<? extends Settings> type) {
        this.word = word;
        this.type = type;
    }

    /** The value of the field {@code role}, and the name of the role's schema. */
    @JsonValue
    public String word() {
        return word;
    }

    Class<? extends Settings> type() {
        return type;
    }

    static Optional<Role> of(String word) {
        for (Role role : values()) {
            if (role.word.equals(word)) {
                return Optional.of(role);
            }
        }
        return Optional.empty();
    }
}
