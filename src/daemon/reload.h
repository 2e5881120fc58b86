#ifndef KQ_RELOAD_H
#define KQ_RELOAD_H

#include "daemon/control/control.h"
#include "settings.h"

/**
 * DOC: Settings that change while the daemon runs: on SIGHUP, and when the file
 * has changed without a signal.
 */

struct reload;

/** reload_start() - watch a settings file from the program's main context;
 * settings that changed go to the control task and the data task */
struct reload *reload_start(const char *path, const struct settings *,
    struct control *, struct data *);
/** reload_settings() - read the file, log which settings changed and apply
 * those that need no restart; an invalid file changes nothing. @why is logged
 */
void reload_settings(struct reload *, const char *why);
/** reload_stop() - stop watching the file and free */
void reload_stop(struct reload *);

#endif
