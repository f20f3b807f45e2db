package org.elmline.cli;

/** The version in the jar's manifest. */
final class ProgramVersion {
    private ProgramVersion() {}

    static String text() {
        String version = ProgramVersion.class.getPackage().getImplementationVersion();
        return "elmline " + (version == null ? "(not packaged)" : version);
    }
}
