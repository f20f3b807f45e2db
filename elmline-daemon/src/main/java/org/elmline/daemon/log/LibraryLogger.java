package org.elmline.daemon.log;

import java.text.MessageFormat;

import org.jboss.logging.Logger;

/** A logger whose records become lines of the decision log. */
final class LibraryLogger extends Logger {
    private static final long serialVersionUID = 1L;

    private static final String OWN_PREFIX = "org.elmline";

    LibraryLogger(String name) {
        super(name);
    }

    /** Records of libraries below level warning and of this product below level info are left out. */
    @Override
    public boolean isEnabled(Level level) {
        Level least = getName().startsWith(OWN_PREFIX) ? Level.INFO : Level.WARN;
        return level.ordinal() <= least.ordinal();
    }

    @Override
    protected void doLog(Level level, String loggerClass, Object message, Object[] parameters, Throwable thrown) {
        if (!isEnabled(level)) {
            return;
        }
        boolean plain = parameters == null || parameters.length == 0;
        String text = String.valueOf(message);
        write(level, plain ? text : MessageFormat.format(text, parameters), thrown);
    }

    @Override
    protected void doLogf(Level level, String loggerClass, String format, Object[] parameters, Throwable thrown) {
        if (!isEnabled(level)) {
            return;
        }
        boolean plain = parameters == null || parameters.length == 0;
        write(level, plain ? format : String.format(format, parameters), thrown);
    }

    private void write(Level level, String message, Throwable thrown) {
        LibraryLogHandler.write(getName(), level.name(), message, thrown);
    }
}
