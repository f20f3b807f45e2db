package org.elmline.wire.shape;

import java.lang.reflect.Type;
import java.util.Map;
import java.util.Set;

import org.elmline.core.admission.AdmissionMode;
import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Region;
import org.elmline.core.common.RequestId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.IdempotencyKey;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.OpenGrant;
import org.elmline.core.dispatch.ServerRateLimits;
import org.elmline.core.evacuation.EvacuationRecord;
import org.elmline.core.quarantine.GroupDemand;
import org.elmline.core.quarantine.PartPass;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.QuarantineRecord;
import org.elmline.core.quarantine.ServerCrash;
import org.elmline.core.quarantine.SuspectParts;
import org.elmline.core.raft.Message;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.EntryUpdate;
import org.elmline.core.registry.HeartbeatAge;
import org.elmline.core.registry.PackedRouting;
import org.elmline.core.registry.Registration;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.core.registry.ServerUpdate;
import org.elmline.core.timeline.HybridTime;

/**
 * What the annotations of frequently sent types say. Reading an annotation generates a class for it at run time, which
 * the class data sharing archive can't hold and which takes a considerable part of a process's start. Types that are
 * missing here are read by their annotations.
 */
final class AnnotatedTypes {
    /** Name of the field that holds the type name of the sealed types. */
    static final String TYPE_FIELD = "type";

    /**
     * The methods of a type that is written as one text or number.
     *
     * @param accessor name of the method annotated as value, without parameters
     * @param factory name of the method annotated as creator, static and with one parameter
     */
    record ValueMethods(String accessor, String factory) {
        private static final ValueMethods ID = new ValueMethods("value", "of");
        private static final ValueMethods TEXT = new ValueMethods("toString", "parse");
    }

    static final Map<Class<?>, ValueMethods> VALUES = Map.ofEntries(
            Map.entry(Address.class, ValueMethods.TEXT),
            Map.entry(AttemptId.class, ValueMethods.ID),
            Map.entry(BackendServerId.class, ValueMethods.ID),
            Map.entry(ConfigVersion.class, ValueMethods.ID),
            Map.entry(FailureDomain.class, ValueMethods.ID),
            Map.entry(FencingNumber.class, ValueMethods.ID),
            Map.entry(HostId.class, ValueMethods.ID),
            Map.entry(HybridTime.class, ValueMethods.ID),
            Map.entry(IdempotencyKey.class, ValueMethods.ID),
            Map.entry(Incarnation.class, ValueMethods.ID),
            Map.entry(ModelName.class, ValueMethods.ID),
            Map.entry(OrganisationId.class, ValueMethods.ID),
            Map.entry(PromptPart.class, ValueMethods.ID),
            Map.entry(Region.class, ValueMethods.ID),
            Map.entry(ReplicaId.class, ValueMethods.TEXT),
            Map.entry(RequestId.class, ValueMethods.ID),
            Map.entry(ServiceName.class, ValueMethods.ID),
            Map.entry(TicketNumber.class, ValueMethods.ID));

    /** Sealed types whose type names are {@link #typeName} of their records, in {@link #TYPE_FIELD}. */
    static final Set<Class<?>> SEALED_TYPES =
            Set.of(Command.class, CommandResult.class, DispatchAnswer.class, Message.class);

    /** Enums whose constants are annotated with their names in lower case. */
    static final Set<Class<?>> LOWER_CASE_ENUMS = Set.of(AdmissionMode.class);

    /**
     * Types whose lists are read without the items that can't be used, where unknown fields are ignored, too: each item
     * states something of its own, and without this, one of them would hide all others. Never types whose order or
     * completeness matters, such as entries of a log.
     */
    static final Set<Type> INDEPENDENT_ITEMS = Set.of(
            Address.class,
            AttemptReport.class,
            EntryRecord.class,
            EntryUpdate.class,
            EvacuationRecord.class,
            GroupDemand.class,
            HeartbeatAge.class,
            Message.class,
            OpenGrant.class,
            PartPass.class,
            QuarantineRecord.class,
            Registration.class,
            ServerRateLimits.ReportedLimit.class,
            ServerCrash.class,
            ServerUpdate.class,
            SuspectParts.class);

    /**
     * Types whose components are null if they can't be used, where unknown fields are ignored, too. Never types that a
     * follower requests again at once while it lacks them.
     */
    static final Set<Type> INDEPENDENT_PARTS = Set.of(PackedRouting.class, RoutingText.class);

    /** Type names that differ from the record's name. */
    private static final Map<Class<?>, String> SPECIAL_NAMES = Map.ofEntries(
            Map.entry(Message.PreVoteRequest.class, "pre-vote"),
            Map.entry(Message.PreVoteResponse.class, "pre-vote-answer"),
            Map.entry(Message.VoteRequest.class, "vote"),
            Map.entry(Message.VoteResponse.class, "vote-answer"),
            Map.entry(Message.AppendRequest.class, "append"),
            Map.entry(Message.AppendResponse.class, "append-answer"),
            Map.entry(Message.HeartbeatResponse.class, "heartbeat-answer"),
            Map.entry(Message.SnapshotChunk.class, "snapshot"),
            Map.entry(Message.SnapshotResponse.class, "snapshot-answer"),
            Map.entry(Message.TimeoutNow.class, "stand"));

    private AnnotatedTypes() {}

    /**
     * The type name of a record: the special one, or else the simple name in lower case with a hyphen before each word
     * but the first.
     */
    static String typeName(Class<?> type) {
        String special = SPECIAL_NAMES.get(type);
        return special == null ? hyphenated(type) : special;
    }

    private static String hyphenated(Class<?> type) {
        String name = type.getSimpleName();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < name.length(); i++) {
            char each = name.charAt(i);
            if (Character.isUpperCase(each) && i > 0) {
                text.append('-');
            }
            text.append(Character.toLowerCase(each));
        }
        return text.toString();
    }
}
