package org.elmline.core.dispatch;

import org.elmline.core.common.ServiceName;

/** A shard of a service: the unit that one dispatcher decides for. */
public record ServiceShard(ServiceName service, Shard shard) {
    @Override
    public String toString() {
        return shard.count() == 1 ? service.value() : service.value() + '#' + shard.index() + '/' + shard.count();
    }
}
