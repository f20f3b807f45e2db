package org.elmline.bench.policy;

/** What goes wrong in the middle third of a run. */
public enum Fault {
    NONE("none"),
    /** Every second engine dies and comes back empty. */
    HALF_DIE("half the engines die"),
    /** One of three failure domains dies and comes back empty. */
    DOMAIN_DIES("a failure domain dies"),
    /** One engine runs at a tenth of its speed, to the end of the run, and reports no load. */
    ONE_SLOW("one engine at a tenth"),
    /** Cache events claim that every engine holds what any of them stored. */
    CACHE_LIES("cache events lie");

    private static final int DOMAINS = 3;

    private final String title;

    Fault(String title) {
        this.title = title;
    }

    /** Words for tables. */
    public String title() {
        return title;
    }

    boolean kills(int engine) {
        return this == HALF_DIE && engine % 2 == 0 || this == DOMAIN_DIES && engine % DOMAINS == 0;
    }

    boolean slows(int engine) {
        return this == ONE_SLOW && engine == 1;
    }
}
