package org.elmline.core.config;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.ModelName;

/**
 * A served model.
 *
 * @param version version of the weights that engines must serve
 * @param adapters adapters that callers may request, each loaded on engines of the model
 * @param maxPromptTokens longest prompt accepted, in tokens; may exceed the memory of one engine
 * @param maxOutputTokens longest output of a request, in tokens
 * @param minReadyReplicas engines that must stay ready while roles and versions change
 * @param removed true when the model is no longer served
 */
@JsonTypeName("model")
public record Model(
        ModelName name,
        String version,
        List<String> adapters,
        int maxPromptTokens,
        int maxOutputTokens,
        int minReadyReplicas,
        boolean removed)
        implements ConfigObject {
    public Model {
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        if (name == null || version == null || version.isEmpty()) {
            throw new IllegalArgumentException("a model needs a name and a version");
        }
        if (maxPromptTokens < 1 || maxOutputTokens < 1 || minReadyReplicas < 0) {
            throw new IllegalArgumentException("model " + name
                    + ": maxPromptTokens and maxOutputTokens must be at least 1, minReadyReplicas at" + " least 0");
        }
    }

    @Override
    public String key() {
        return "model/" + name;
    }
}
