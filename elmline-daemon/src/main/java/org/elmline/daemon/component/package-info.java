/**
 * Dagger components that assemble a process. The code that Dagger generates from them is committed under {@code
 * src/generated/java}; {@code mvn -Pgenerate-dagger -pl elmline-daemon -am clean compile} generates it again.
 */
package org.elmline.daemon.component;
