#include "daemon/control/impl.h"

static void
write_instance(struct control *c, GString *text)
{
	const struct settings *s = &c->settings;
	struct instance in = { 0 };

	in.incarnation = c->incarnation;
	if (c->has_target)
		g_strlcpy(in.service, c->target.service, sizeof in.service);
	g_strlcpy(in.datacentre, s->datacentre, sizeof in.datacentre);
	g_strlcpy(in.region, s->region, sizeof in.region);
	g_strlcpy(in.ip, s->ip, sizeof in.ip);
	in.caller_port = s->caller_port;
	in.peer_port = s->peer_port;
	in.operator_port = s->operator_port;
	instance_write(text, &in);
}

static void
register_due(void *ctx, int64_t now)
{
	control_register_instance(ctx);
}

static void
register_after(struct control *c, int64_t delay)
{
	c->register_timer.fire = register_due;
	c->register_timer.ctx = c;
	io_timer_set(c->task.loop, &c->register_timer, control_now(c) + delay);
}

static void
unregistered(void *ctx, struct platform_result *r)
{
	struct control *c = ctx;

	c->registration = REG_REMOVED;
}

static void
registered(void *ctx, struct platform_result *r)
{
	struct control *c = ctx;

	control_note_platform_result(c, r);
	c->registration = REG_NONE;
	if (r->status == PLATFORM_OK) {
		c->registration = REG_DONE;
		c->registered_version = r->version;
		log_event(EVENT_REGISTERED, G_LOG_LEVEL_INFO, control_now(c),
		    "registered version=%" G_GUINT64_FORMAT, r->version);
	} else if (r->status == PLATFORM_CONFLICT) {
		/* Nobody else writes the object: an earlier write took effect
		 * although its answer was lost. */
		c->registered_version = r->version;
		c->register_again = 1;
	} else if (r->status == PLATFORM_ABSENT) {
		c->registered_version = 0;
		c->register_again = 1;
	} else {
		if (r->status == PLATFORM_REFUSED)
			log_event(EVENT_REGISTER_FAILED, G_LOG_LEVEL_WARNING,
			    control_now(c), "instance object not written: %s",
			    r->error.text);
		register_after(c, control_platform_backoff(c));
		return;
	}
	if (c->leaving) {
		control_unregister_instance(c);
	} else if (c->register_again) {
		c->register_again = 0;
		control_register_instance(c);
	}
}

/* Writes our instance object; one write is in flight at a time. */
void
control_register_instance(struct control *c)
{
	GString *text;
	char name[17];

	if (!c->platform || c->leaving || control_many_feeds(c))
		return;
	if (c->registration == REG_WRITING) {
		c->register_again = 1;
		return;
	}
	g_snprintf(name, sizeof name, "%016" G_GINT64_MODIFIER "x",
	    c->incarnation);
	text = g_string_new(NULL);
	write_instance(c, text);
	c->registration = REG_WRITING;
	platform_put(c->platform, CONFIG_INSTANCE, name, text->str,
	    c->registered_version, registered, c);
	g_string_free(text, TRUE);
}

void
control_register_instance_soon(struct control *c)
{
	register_after(c, rng_below(&c->rng, PLATFORM_BACKOFF_MIN_US));
}

void
control_unregister_instance(struct control *c)
{
	char name[17];

	io_timer_clear(c->task.loop, &c->register_timer);
	if (!c->platform || c->registration != REG_DONE)
		return;
	g_snprintf(name, sizeof name, "%016" G_GINT64_MODIFIER "x",
	    c->incarnation);
	c->registration = REG_WRITING;
	platform_delete(c->platform, CONFIG_INSTANCE, name,
	    c->registered_version, unregistered, c);
}
