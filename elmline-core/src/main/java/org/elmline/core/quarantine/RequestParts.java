package org.elmline.core.quarantine;

import java.util.ArrayList;
import java.util.List;

/** What may be quarantined of one request. */
public interface RequestParts {
    /** The parts of its prompt that other prompts may share. */
    List<PromptPart> shared();

    /** The whole request. Its digest may take a while to compute. */
    PromptPart request();

    /** The shared parts and the whole request. */
    default List<PromptPart> all() {
        List<PromptPart> all = new ArrayList<>(shared());
        all.add(request());
        return all;
    }
}
