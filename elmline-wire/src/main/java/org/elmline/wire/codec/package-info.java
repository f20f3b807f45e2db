/** Turns typed messages into bytes: MessagePack between elmline processes, JSON towards everyone else. */
package org.elmline.wire.codec;
