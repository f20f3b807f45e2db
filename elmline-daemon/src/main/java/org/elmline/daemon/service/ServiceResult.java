package org.elmline.daemon.service;

import org.elmline.core.common.CallResult;
import org.elmline.core.control.RecordedAnswer;
import org.elmline.core.dispatch.ServerNotice;

/**
 * The result of one call to a replica.
 *
 * @param notice what the replica states about itself; {@link ServerNotice#NONE} without an answer
 */
record ServiceResult(CallResult<RecordedAnswer> result, ServerNotice notice) {}
