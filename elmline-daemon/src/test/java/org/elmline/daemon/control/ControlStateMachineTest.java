package org.elmline.daemon.control;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.control.ControlState;
import org.elmline.wire.codec.Codecs;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ControlStateMachineTest {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private static byte[] snapshot(List<Object> evacuations) throws Exception {
        byte[] empty = Codecs.REPLICATED_STATE.encode(new ControlState().snapshot());
        ObjectNode fields = (ObjectNode) MAPPER.readTree(empty);
        fields.set("evacuations", MAPPER.valueToTree(Map.of("version", 3, "records", evacuations)));
        return MAPPER.writeValueAsBytes(fields);
    }

    /** Guards against replicas that differ, as one of them skips an evacuation of a snapshot that it can't use. */
    @Test
    void snapshotWithUnusableItemIsNotRestored() throws Exception {
        Map<String, Object> sound = Map.of("domain", "a", "evacuated", true, "change", 3);
        ControlStateMachine machine = new ControlStateMachine();
        machine.restore(snapshot(List.of(sound)));
        boolean restored = machine.read(state -> state.evacuations().isEvacuated(FailureDomain.of("a")));
        assertTrue(restored);
        for (Object odd : Arrays.asList(null, 7, Map.of("evacuated", true))) {
            byte[] bytes = snapshot(Arrays.asList(sound, odd));
            assertThrows(IllegalStateException.class, () -> machine.restore(bytes), () -> "" + odd);
        }
    }
}
