package org.elmline.daemon.raft;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.HostId;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.RaftSettings;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.RestoredState;
import org.elmline.daemon.runtime.SystemClock;
import org.elmline.storage.DataFolder;
import org.elmline.storage.DiskFullException;
import org.elmline.storage.OpenResult;
import org.elmline.storage.SystemFiles;

/**
 * A replica of one control host with real files; its state machine counts the commands and computes a checksum of them.
 */
final class TestReplica implements StateMachine {
    volatile boolean diskFull;
    volatile CountDownLatch syncGate = new CountDownLatch(0);
    volatile long count;
    volatile long sum;
    final Address address;
    final MetricRegistry metrics = new MetricRegistry();
    RaftDriver driver;
    private final MemoryNetwork network;
    private final HostId host;
    private final Supplier<List<Address>> members;

    TestReplica(MemoryNetwork network, int number, Supplier<List<Address>> members) {
        this.network = network;
        this.host = HostId.of("h" + number);
        this.address = addressOf(host);
        this.members = members;
    }

    private static Address addressOf(HostId host) {
        return new Address("127.0.0.1", 1 + Integer.parseInt(host.value().substring(1)));
    }

    void start(Path data, boolean bootstrap) {
        count = 0;
        sum = 0;
        SystemFiles files = new SystemFiles() {
            @Override
            public OutputFile open(Path file) throws IOException {
                OutputFile delegate = super.open(file);
                return new DiskFullFile(delegate);
            }
        };
        OpenResult.Opened opened =
                (OpenResult.Opened) DataFolder.open(files, data, host, new SplittableRandom(data.hashCode()), 1 << 16);
        ReplicaId self = opened.folder().identity();
        RestoredState restored = opened.restored();
        if (bootstrap) {
            Membership first = Membership.ofVoters(List.of(self));
            opened.folder().bootstrap(first);
            restored = RestoredState.bootstrap(first);
        }
        driver = RaftDriver.builder()
                .folder(opened.folder(), restored)
                .machine(this)
                .network(network, network.host(address))
                .addresses(TestReplica::addressOf, members)
                .clock(new SystemClock())
                .metrics(metrics)
                .settings(RaftSettings.builder()
                        .electionTimeout(Duration.ofMillis(300))
                        .heartbeat(Duration.ofMillis(40))
                        .retainedEntries(10)
                        .build())
                .snapshotEntries(100)
                .start();
    }

    void stop() {
        network.disconnect(address);
        driver.close();
    }

    boolean isVoter() {
        return driver.status().membership().isVoter(driver.status().self());
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        sum = sum * 31 + ByteBuffer.wrap(command).getLong();
        count++;
        return ByteBuffer.allocate(Long.BYTES).putLong(count).array();
    }

    @Override
    public byte[] snapshot() {
        return ByteBuffer.allocate(2 * Long.BYTES).putLong(count).putLong(sum).array();
    }

    @Override
    public void restore(byte[] snapshot) {
        ByteBuffer from = ByteBuffer.wrap(snapshot);
        count = from.getLong();
        sum = from.getLong();
    }

    private final class DiskFullFile implements org.elmline.storage.FileOperations.OutputFile {
        private final org.elmline.storage.FileOperations.OutputFile delegate;

        private DiskFullFile(org.elmline.storage.FileOperations.OutputFile delegate) {
            this.delegate = delegate;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            if (diskFull) {
                throw new DiskFullException("full");
            }
            delegate.write(bytes);
        }

        @Override
        public void sync() throws IOException {
            try {
                syncGate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            delegate.sync();
        }

        @Override
        public void truncate(long length) throws IOException {
            delegate.truncate(length);
        }

        @Override
        public void close() throws IOException {
            delegate.close();
        }
    }
}
