package org.elmline.storage;

/** A place where a file does not hold the bytes that were synced to it. */
public record Corruption(String file, long offset, String why) {
    @Override
    public String toString() {
        return file + " at byte " + offset + ": " + why;
    }
}
