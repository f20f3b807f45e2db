package org.elmline.daemon.service;

import java.util.List;

import org.elmline.core.control.RecordedAnswer;

/**
 * One call to forward to a plain service.
 *
 * @param target path and query below the service, without a leading slash
 * @param headers the caller's headers that are forwarded
 */
record ServiceCall(String method, String target, List<RecordedAnswer.Header> headers, byte[] body) {
    ServiceCall {
        headers = List.copyOf(headers);
    }
}
