package org.elmline.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import org.elmline.cli.ExitCode;

/** Result of a request to an operator port. */
sealed interface OperatorAnswer {
    ExitCode exitCode();

    /** The host carried out the request. */
    record Done(JsonNode body) implements OperatorAnswer {
        @Override
        public ExitCode exitCode() {
            return ExitCode.OK;
        }
    }

    /** The host answered with an error. */
    record Refused(int status, JsonNode body) implements OperatorAnswer {
        private static final int NOT_FOUND_STATUS = 404;

        @Override
        public ExitCode exitCode() {
            return status == NOT_FOUND_STATUS ? ExitCode.NOT_FOUND : ExitCode.REFUSED;
        }
    }

    /** No host answered, or none can decide now. */
    record Unreachable(String message) implements OperatorAnswer {
        @Override
        public ExitCode exitCode() {
            return ExitCode.UNREACHABLE;
        }
    }
}
