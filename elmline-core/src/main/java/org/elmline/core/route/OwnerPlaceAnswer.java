package org.elmline.core.route;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.Refusal;

/** An owner's final answer to a {@link PlaceRequest}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public sealed interface OwnerPlaceAnswer {
    /**
     * Memory is reserved; the asking entry must release it.
     *
     * @param summary as in {@link Refused}: it rides along for free, so summaries on a slow beat do no harm where there
     *     is traffic
     */
    @JsonTypeName("placed")
    record Placed(Grant grant, ModelSummary summary) implements OwnerPlaceAnswer {
        public Placed(Grant grant) {
            this(grant, null);
        }
    }

    /**
     * Nothing is reserved and nothing ran.
     *
     * @param summary the owner's state of the model now, so that the next choice is not made on an older one; null when
     *     it has no engine of the model
     */
    @JsonTypeName("refused")
    record Refused(Refusal refusal, ModelSummary summary) implements OwnerPlaceAnswer {}
}
