#include <arpa/inet.h>

#include "daemon/control/impl.h"

static void
log_check(struct control *c, const struct member *m, const char *result)
{
	log_event(EVENT_MEMBER_CHECKED, G_LOG_LEVEL_INFO, control_now(c),
	    "member checked incarnation=%016" G_GINT64_MODIFIER "x result=%s",
	    m->info.id, result);
}

static void
log_state(struct control *c, const struct member *m, enum event number,
    const char *word)
{
	log_event(number, G_LOG_LEVEL_INFO, control_now(c),
	    "member %s incarnation=%016" G_GINT64_MODIFIER "x datacentre=%s",
	    word, m->info.id, m->info.datacentre);
}

void
control_log_member(struct control *c, const struct member *m,
    enum member_event ev)
{
	switch (ev) {
	case MEMBER_EVENT_JOINED:
		log_state(c, m, EVENT_MEMBER_JOINED, "joined");
		break;
	case MEMBER_EVENT_SUSPECTED:
		log_state(c, m, EVENT_MEMBER_SUSPECTED, "suspected");
		break;
	case MEMBER_EVENT_ALIVE:
		log_state(c, m, EVENT_MEMBER_ALIVE, "alive");
		break;
	case MEMBER_EVENT_DEAD:
		log_state(c, m, EVENT_MEMBER_DEAD, "dead");
		break;
	case MEMBER_EVENT_LEFT:
		log_state(c, m, EVENT_MEMBER_LEFT, "left");
		break;
	case MEMBER_EVENT_CHECK_ANSWERED:
		log_check(c, m, "answered");
		break;
	case MEMBER_EVENT_CHECK_UNCONFIRMED:
		log_check(c, m, "unconfirmed");
		break;
	case MEMBER_EVENT_CHECK_FAILED:
		log_check(c, m, "suspected");
		break;
	default:
		break;
	}
}

void
control_log_refused(struct control *c, enum datagram_reason r,
    const struct member_message *m, const struct sockaddr_in *sa)
{
	char ip[INET_ADDRSTRLEN] = "";

	inet_ntop(AF_INET, &sa->sin_addr, ip, sizeof ip);
	log_event(EVENT_DATAGRAM_REFUSED, G_LOG_LEVEL_INFO, control_now(c),
	    "datagram refused reason=%s sender=%s:%d "
	    "from=%016" G_GINT64_MODIFIER "x to=%016" G_GINT64_MODIFIER
	    "x incarnation=%016" G_GINT64_MODIFIER "x",
	    datagram_reason_name(r), ip, ntohs(sa->sin_port), m->from, m->to,
	    c->incarnation);
}
