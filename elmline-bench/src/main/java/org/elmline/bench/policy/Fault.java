package org.elmline.bench.policy;

/** Fault injected in the middle third of a run. */
public enum Fault {
    NONE("none"),
    /** Every second engine fails and restarts with empty memory. */
    HALF_FAIL("half the engines die"),
    /** One of three failure domains fails and restarts with empty memory. */
    DOMAIN_FAILS("a failure domain dies"),
    /** One engine runs at a tenth of its speed, until the end of the run, and reports no load. */
    SLOW_ENGINE("one engine at a tenth"),
    /** Cache events report a block stored by one engine as stored by every engine; evictions aren't reported. */
    FALSE_CACHE_EVENTS("cache events lie");

    private static final int DOMAINS = 3;

    private final String title;

    Fault(String title) {
        this.title = title;
    }

    /** Name in printed tables. */
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
