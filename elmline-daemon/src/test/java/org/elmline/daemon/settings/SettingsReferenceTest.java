package org.elmline.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SettingsReferenceTest {
    @Test
    void pageMatchesSchemaAndDefaults() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "SETTINGS.md"));
        assertEquals(new SettingsReference().markdown(), page, "renew it: ./elmline settings reference");
    }

    @Test
    void everySettingHasDescription() {
        String undescribed = new SettingsReference()
                .markdown()
                .lines()
                .filter(line -> line.endsWith("|  |"))
                .toList()
                .toString();
        assertEquals("[]", undescribed);
        assertTrue(new SettingsReference()
                .markdown()
                .contains("| `/lease/leaseMillis` | integer, 100 to 60000 | `3000` |"));
    }
}
