package org.elmline.wire.codec;

import java.util.List;
import java.util.Set;

import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.fairness.ShareAnswer;
import org.elmline.core.fairness.ShareRequest;
import org.elmline.core.placement.Demand;
import org.elmline.core.route.AuditAnswer;
import org.elmline.core.route.AuditRequest;
import org.elmline.core.route.FirstToken;
import org.elmline.core.route.Grant;
import org.elmline.core.route.GrantReport;
import org.elmline.core.route.ModelSummary;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.OwnerSummary;
import org.elmline.core.route.PlaceMode;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.RegisterGrants;
import org.elmline.core.route.Release;
import org.elmline.core.route.ReleaseCause;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Messages between gateway and owner are equal after encoding and decoding, those with several constructors included.
 */
class RouteMessagesTest {
    private static final HostId HOST = HostId.of("host-1");
    private static final Incarnation FIRST = Incarnation.of(1);
    private static final AttemptId ATTEMPT = AttemptId.of("host-1/7");
    private static final OrganisationId ORGANISATION = OrganisationId.of("org");
    private static final ModelName MODEL = ModelName.of("elm-small");

    @Test
    void everyMessageIsEqualAfterARoundTrip() {
        Demand demand = new Demand(MODEL, "", 10, 20, List.of(1L, -2L), 0, 1_000, Set.of(BackendServerId.of("engine")));
        Grant grant = new Grant(
                ATTEMPT,
                HOST,
                FIRST,
                ORGANISATION,
                MODEL,
                BackendServerId.of("engine"),
                FIRST,
                new Address("127.0.0.1", 1),
                "standin",
                10,
                30,
                0,
                5,
                1_000,
                true);
        ModelSummary model = new ModelSummary(MODEL, 1, List.of(1, 2, 3, 4), 9, 8, 7, List.of(-5));
        Object[] messages = {
            new PlaceRequest(ATTEMPT, HOST, FIRST, ORGANISATION, demand),
            new PlaceRequest(ATTEMPT, HOST, FIRST, ORGANISATION, demand, PlaceMode.SEGMENT, 500),
            new OwnerPlaceAnswer.Placed(grant),
            new OwnerPlaceAnswer.Placed(grant, model),
            new OwnerPlaceAnswer.Refused(Refusal.retryLater(RefusalReason.OVERLOADED, "full", 9), model),
            new GrantReport(HOST, FIRST, List.of(new FirstToken(ATTEMPT, 3)), List.of()),
            new GrantReport(
                    HOST,
                    FIRST,
                    List.of(ATTEMPT),
                    List.of(),
                    List.of(new Release(ATTEMPT, ReleaseCause.ENGINE_FAILED))),
            new RegisterGrants(HOST, FIRST, List.of(grant)),
            new OwnerSummary(HOST, FIRST, 4, List.of(-1, 2), List.of(model), List.of()),
            new AuditRequest(HOST, FIRST, List.of(ATTEMPT)),
            new AuditAnswer(List.of(ATTEMPT)),
            new ShareRequest(HOST, FIRST, ORGANISATION, 1, 2, 3),
            new ShareAnswer(ORGANISATION, 1, 2, 3),
        };
        int equalCount = 0;
        for (Object each : messages) {
            Class<?> type = each instanceof OwnerPlaceAnswer ? OwnerPlaceAnswer.class : each.getClass();
            for (Codec codec : List.of(Codecs.MESSAGE_PACK, Codecs.JSON)) {
                Decoded<?> decoded = codec.decode(codec.encode(each), type);
                assertEquals(new Decoded.Value<>(each), decoded);
                equalCount++;
            }
        }
        assertEquals(26, equalCount);
    }
}
