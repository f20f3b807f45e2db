package org.elmline.cli.role;

import java.time.Duration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.wire.codec.Codecs;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Sets faults of a stand-in that runs. */
@Command(name = "fault", description = "Sets faults of a running stand-in.")
final class StandinFaultCommand implements ExitingCommand {
    private static final String PATH = "/standin/faults";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "URL", description = "the stand-in, for example http://127.0.0.1:9001")
    private String standin;

    @Option(
            names = "--crash-on-prompts-with",
            paramLabel = "TEXT",
            description = "the engine ends when it begins an answer to a prompt with this text, and starts again after"
                    + " some seconds; an empty text ends the fault")
    private String crashingText;

    @Option(
            names = "--cold-seconds",
            paramLabel = "SECONDS",
            description = "the engine or service is cold from now on for this time; 0 makes it warm")
    private Double coldSeconds;

    @Option(
            names = "--cold-per-second",
            paramLabel = "RATE",
            description = "requests a second that it takes while it is cold; it ends well above that")
    private Double coldPerSecond;

    @Override
    public ExitCode execute() throws Exception {
        ObjectNode faults = faults();
        OkHttpClient http = new OkHttpClient.Builder().callTimeout(TIMEOUT).build();
        Request request = new Request.Builder()
                .url(standin + PATH)
                .put(RequestBody.create(faults.toString(), MediaType.get("application/json")))
                .build();
        try (Response response = http.newCall(request).execute()) {
            spec.commandLine().getOut().println(response.code());
            return response.isSuccessful() ? ExitCode.OK : ExitCode.INVALID;
        }
    }

    private ObjectNode faults() {
        boolean isCold = coldSeconds != null && coldSeconds > 0;
        if ((isCold && coldPerSecond == null) || (crashingText == null && coldSeconds == null)) {
            throw new ParameterException(
                    spec.commandLine(), "give --crash-on-prompts-with, or --cold-seconds with --cold-per-second");
        }
        ObjectNode faults = Codecs.jsonMapper().createObjectNode();
        if (crashingText != null) {
            faults.put("crashOnPromptsWith", crashingText);
        }
        if (coldSeconds != null) {
            faults.put("coldSeconds", coldSeconds).put("coldPerSecond", isCold ? coldPerSecond : 0);
        }
        return faults;
    }
}
