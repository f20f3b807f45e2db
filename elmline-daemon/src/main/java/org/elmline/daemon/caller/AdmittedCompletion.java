package org.elmline.daemon.caller;

import org.elmline.daemon.openai.CompletionRequest;

/** One admitted completion request with its size in tokens. */
record AdmittedCompletion(AdmittedCall call, CompletionRequest request, int promptTokens, int maxOutputTokens) {}
