package org.elmline.core.registry;

/**
 * What a control host tells of an entry that has changed.
 *
 * @param entry the entry as it is now, or as it was last
 * @param gone whether it polls no more
 */
public record EntryUpdate(EntryRecord entry, boolean gone) {}
