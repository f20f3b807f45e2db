package org.elmline.cli.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import okhttp3.HttpUrl;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Options for the operator ports and their key. */
final class OperatorOptions {
    private static final String KEY_VARIABLE = "ELMLINE_OPERATOR_KEY";

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(
            names = {"-o", "--operator"},
            paramLabel = "URL",
            split = ",",
            defaultValue = "${env:ELMLINE_OPERATOR:-http://127.0.0.1:7081}",
            description = "operator ports to ask, in order, for example http://10.1.0.4:7081;"
                    + " default: $ELMLINE_OPERATOR, else ${DEFAULT-VALUE}")
    private List<String> operators;

    @Option(
            names = "--key",
            paramLabel = "KEY",
            description = "operator key; others on this machine can see it, so prefer --key-file or $" + KEY_VARIABLE)
    private String key;

    @Option(names = "--key-file", paramLabel = "FILE", description = "file that holds the operator key")
    private Path keyFile;

    @Option(
            names = "--timeout-seconds",
            paramLabel = "N",
            defaultValue = "10",
            description = "time limit for each host, in seconds; default: ${DEFAULT-VALUE}")
    private int timeoutSeconds;

    OperatorClient client() {
        List<HttpUrl> hosts = new ArrayList<>();
        for (String operator : operators) {
            hosts.add(parseUrl(operator));
        }
        return new OperatorClient(hosts, key(), Duration.ofSeconds(timeoutSeconds));
    }

    private HttpUrl parseUrl(String operator) {
        HttpUrl url = HttpUrl.parse(operator.contains("://") ? operator : "http://" + operator);
        if (url == null) {
            throw new ParameterException(spec.commandLine(), "not a URL: " + operator);
        }
        return url;
    }

    private String key() {
        if (key != null) {
            return key;
        }
        if (keyFile != null) {
            return readKeyFile();
        }
        String variable = System.getenv(KEY_VARIABLE);
        if (variable == null || variable.isBlank()) {
            throw new ParameterException(
                    spec.commandLine(), "no operator key: give --key-file, or set " + KEY_VARIABLE);
        }
        return variable.strip();
    }

    private String readKeyFile() {
        try {
            return Files.readString(keyFile).strip();
        } catch (IOException e) {
            throw new ParameterException(spec.commandLine(), "key file can't be read: " + e, e);
        }
    }
}
