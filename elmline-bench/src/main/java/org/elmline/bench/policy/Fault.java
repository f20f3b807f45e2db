package org.elmline.bench.policy;

/** What goes wrong in the middle third of a run. */
public enum Fault {
    NONE("none"),
    /** Every second engine dies and comes back empty. */
    HALF_FAIL("half the engines die"),
    /** One of three failure domains dies and comes back empty. */
    DOMAIN_FAILS("a failure domain dies"),
    /** One engine runs at a tenth of its speed, to the end of the run, and reports no load. */
    SLOW_ENGINE("one engine at a tenth"),
    /** Cache events claim that every engine holds what any of them stored. */
    FALSE_CACHE_EVENTS("cache events lie");

    private static final int DOMAINS = 3;

    private final String title;

    Fault(String title) {
        this.title = title;
    }

    /** Words for tables. */
    public String title() {
        return title;
    }

    boolean stops(int engine) {
        return this == HALF_FAIL && engine % 2 == 0 || this == DOMAIN_FAILS && engine % DOMAINS == 0;
    }

    boolean slows(int engine) {
        return this == SLOW_ENGINE && engine == 1;
    }
}
