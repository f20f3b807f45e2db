package org.elmline.cli.local;

import java.io.IOException;
import java.nio.file.Path;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.cli.role.RoleCommand;
import org.elmline.cli.role.RunningRole;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a whole deployment in one process, to try elmline out. */
@Command(
        name = "local",
        description = "Runs a control host, an entry and stand-ins in one process on loopback, to try elmline out.")
final class LocalCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--caller-port",
            paramLabel = "N",
            defaultValue = "0",
            description = "port for callers; default: free")
    private int callerPort;

    @Option(
            names = "--operator-port",
            paramLabel = "N",
            defaultValue = "0",
            description = "port for operators; default: free")
    private int operatorPort;

    @Option(names = "--data", paramLabel = "DIR", description = "data folder; default: a new temporary one")
    private Path data;

    @Override
    public ExitCode execute() throws Exception {
        RoleCommand.run(() -> role(start()), spec.commandLine().getOut());
        return ExitCode.OK;
    }

    private LocalDeployment start() throws IOException, InterruptedException {
        return LocalDeployment.builder()
                .callerPort(callerPort)
                .operatorPort(operatorPort)
                .dataFolder(data)
                .keepSeconds(1)
                .start();
    }

    static RunningRole role(LocalDeployment deployment) {
        return new RunningRole() {
            @Override
            public String readyLine() {
                return "ready caller=http://" + deployment.entries().get(0).callers() + " operator=http://"
                        + deployment.entries().get(0).operators() + " key=" + deployment.callerKey() + " operatorKey="
                        + deployment.operatorKey();
            }

            @Override
            public void stop() throws InterruptedException {
                deployment.entries().get(0).stop();
                deployment.controlHosts().get(0).stop();
                deployment.close();
            }
        };
    }
}
