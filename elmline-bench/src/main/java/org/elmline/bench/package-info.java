/** Load tool and policy experiments: the parts behind {@code elmline bench}. */
package org.elmline.bench;
