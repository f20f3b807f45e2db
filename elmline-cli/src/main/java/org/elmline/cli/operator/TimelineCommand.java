package org.elmline.cli.operator;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;

import okhttp3.HttpUrl;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.core.common.HostId;
import org.elmline.core.common.RequestId;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.timeline.EventQuery;
import org.elmline.core.timeline.EventText;
import org.elmline.core.timeline.StampedEvent;
import org.elmline.wire.codec.Codecs;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Prints the merged events of all hosts. */
@Command(
        name = "timeline",
        description = "Merges the hosts' events, causes before effects. Asks the operator ports given, and every entry"
                + " host they know.")
final class TimelineCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Mixin
    private OperatorOptions operator;

    @Option(names = "--request", paramLabel = "ID", description = "only events of this request")
    private String request;

    @Option(names = "--ticket", paramLabel = "NUMBER", description = "only events of this ticket")
    private Long ticket;

    @Option(names = "--host", paramLabel = "HOST", description = "only events of or about this host")
    private String host;

    @Option(
            names = "--limit",
            paramLabel = "N",
            defaultValue = "" + EventQuery.DEFAULT_LIMIT,
            description = "most events, the latest; default: ${DEFAULT-VALUE}")
    private int limit;

    @Option(names = "--only-given", description = "ask no other hosts than the operator ports given")
    private boolean onlyGiven;

    @Option(names = "--json", description = "one JSON object a line")
    private boolean json;

    @Override
    public ExitCode execute() throws InterruptedException {
        EventQuery query = query();
        OperatorClient client = operator.client();
        TimelineReader reader = new TimelineReader(client);
        Set<HttpUrl> hosts = onlyGiven ? new LinkedHashSet<>(client.hosts()) : reader.discoverHosts();
        MergedTimeline timeline = reader.read(hosts, query);
        print(timeline);
        return timeline.pages().isEmpty() ? ExitCode.UNREACHABLE : ExitCode.OK;
    }

    private EventQuery query() {
        try {
            return EventQuery.builder()
                    .request(request == null ? null : RequestId.of(request))
                    .ticket(ticket == null ? null : TicketNumber.of(ticket))
                    .host(host == null ? null : HostId.of(host))
                    .limit(limit)
                    .build();
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }

    private void print(MergedTimeline timeline) {
        PrintWriter out = spec.commandLine().getOut();
        for (StampedEvent event : timeline.events()) {
            out.println(json ? new String(Codecs.JSON.encode(event), StandardCharsets.UTF_8) : EventText.format(event));
        }
        PrintWriter err = spec.commandLine().getErr();
        for (String each : timeline.missingHosts()) {
            err.println("missing: " + each);
        }
        if (timeline.droppedEvents() > 0) {
            err.println("hosts had overwritten " + timeline.droppedEvents() + " earlier events");
        }
    }
}
