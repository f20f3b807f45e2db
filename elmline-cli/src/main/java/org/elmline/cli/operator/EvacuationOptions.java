package org.elmline.cli.operator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import okhttp3.HttpUrl;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Options for the operator ports of control hosts, which need no key, and the paths of evacuations. */
final class EvacuationOptions {
    private static final String PATH = "/evacuation";

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(
            names = "--control",
            paramLabel = "ADDRESS",
            split = ",",
            required = true,
            description = "operator ports of control hosts, in order, for example 10.1.0.4:7081; the next one is asked"
                    + " when one does not answer or cannot decide")
    private List<String> controls;

    @Option(
            names = "--timeout-seconds",
            paramLabel = "N",
            defaultValue = "2",
            description = "time limit for each host, in seconds; default: ${DEFAULT-VALUE}")
    private int timeoutSeconds;

    OperatorClient client() {
        List<HttpUrl> hosts = new ArrayList<>();
        for (String each : controls) {
            HttpUrl url = HttpUrl.parse(each.contains("://") ? each : "http://" + each);
            if (url == null) {
                throw new ParameterException(spec.commandLine(), "not an address: " + each);
            }
            hosts.add(url);
        }
        return new OperatorClient(hosts, null, Duration.ofSeconds(timeoutSeconds));
    }

    static String listPath() {
        return PATH;
    }

    static String pathOf(String domain) {
        return PATH + "/" + domain;
    }
}
