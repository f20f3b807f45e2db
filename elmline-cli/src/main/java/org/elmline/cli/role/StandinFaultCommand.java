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
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Sets faults of a stand-in engine that runs. */
@Command(name = "fault", description = "Sets faults of a running engine stand-in.")
final class StandinFaultCommand implements ExitingCommand {
    private static final String PATH = "/standin/faults";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "URL", description = "the engine, for example http://127.0.0.1:9001")
    private String engine;

    @Option(
            names = "--crash-on-prompts-with",
            required = true,
            paramLabel = "TEXT",
            description = "the engine ends when it begins an answer to a prompt with this text, and starts again after"
                    + " some seconds; an empty text ends the fault")
    private String crashingText;

    @Override
    public ExitCode execute() throws Exception {
        ObjectNode faults = Codecs.jsonMapper().createObjectNode().put("crashOnPromptsWith", crashingText);
        OkHttpClient http = new OkHttpClient.Builder().callTimeout(TIMEOUT).build();
        Request request = new Request.Builder()
                .url(engine + PATH)
                .put(RequestBody.create(faults.toString(), MediaType.get("application/json")))
                .build();
        try (Response response = http.newCall(request).execute()) {
            spec.commandLine().getOut().println(response.code());
            return response.isSuccessful() ? ExitCode.OK : ExitCode.INVALID;
        }
    }
}
