package org.elmline.core.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Parts of prompts that have always occurred together in prompts under which servers ended, so that one of them, not
 * known which, is the cause. Immutable; sorted, without duplicates.
 */
public record PartGroup(List<PromptPart> parts) {
    public PartGroup {
        parts = parts == null ? List.of() : List.copyOf(new TreeSet<>(parts));
    }

    static PartGroup of(Collection<PromptPart> parts) {
        return new PartGroup(List.copyOf(parts));
    }

    /** Whether a prompt has all parts of this group. */
    public boolean isContainedIn(Collection<PromptPart> prompt) {
        return !parts.isEmpty() && prompt.containsAll(parts);
    }

    /** Whether this is a whole request. */
    public boolean isRequest() {
        return parts.size() == 1 && parts.get(0).isRequest();
    }

    PartGroup without(PromptPart part) {
        return new PartGroup(parts.stream().filter(each -> !each.equals(part)).toList());
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    @Override
    public String toString() {
        return String.join("+", parts.stream().map(PromptPart::value).toList());
    }
}
