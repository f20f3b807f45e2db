/**
 * Dagger components that put a process together. The code Dagger writes from them is committed under
 * {@code src/generated/java}; {@code mvn -Pgenerate-dagger -pl elmline-daemon -am clean compile} writes it anew.
 */
package org.elmline.daemon.component;
