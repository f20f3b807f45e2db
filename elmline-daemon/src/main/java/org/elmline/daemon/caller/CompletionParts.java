package org.elmline.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.elmline.core.control.Sha256;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.RequestParts;
import org.elmline.daemon.openai.CompletionRequest;

/** The prefixes of whole blocks of a prompt, and the whole request by its adapter and prompt. Not thread-safe. */
final class CompletionParts implements RequestParts {
    private final CompletionRequest completion;
    private final List<PromptPart> prefixes = new ArrayList<>();
    private PromptPart request;

    /** @param prefixHashes the hash of each prefix of whole blocks */
    CompletionParts(CompletionRequest completion, List<Long> prefixHashes) {
        this.completion = completion;
        // The end of a prompt is its own.
        int shared =
                PromptBlocks.endsWithWholeBlock(completion.prompt()) ? prefixHashes.size() - 1 : prefixHashes.size();
        prefixHashes.subList(0, shared).forEach(each -> prefixes.add(PromptPart.of(Long.toHexString(each))));
    }

    @Override
    public List<PromptPart> shared() {
        return prefixes;
    }

    @Override
    public PromptPart request() {
        if (request == null) {
            String content = completion.adapter() + "\n" + completion.prompt();
            request = PromptPart.ofRequest(Sha256.hex(content.getBytes(StandardCharsets.UTF_8)));
        }
        return request;
    }
}
