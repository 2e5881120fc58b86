#include "platform_impl.h"

uint64_t
platform_answer_era(const struct store_form *form, SoupMessage *msg)
{
	const char *text;

	if (!form->era_field)
		return 0;
	text =
	    soup_message_headers_get_one(soup_message_get_response_headers(msg),
		form->era_field);
	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

uint64_t
platform_revision(const struct platform *p, uint64_t version)
{
	return p->form->era_field ? config_version_revision(version) : version;
}

void
platform_stamp_batch(struct config_batch *b, uint64_t era)
{
	struct config_object *o;
	int i;

	for (i = 0; i < b->nobject; i++) {
		o = &b->object[i];
		o->version =
		    config_version(era, config_version_revision(o->version));
	}
	b->seen = config_version(era, config_version_revision(b->seen));
	b->upto = config_version(era, config_version_revision(b->upto));
	b->complete = config_version(era, config_version_revision(b->complete));
}

uint64_t
platform_object_version(uint64_t era, uint64_t revision)
{
	return revision ? config_version(era, revision) : 0;
}

int
platform_fails_by_era(const struct request *r, struct platform_result *out)
{
	if (!r->platform->form->era_field || out->status != PLATFORM_OK)
		return 0;
	if (r->kind == REQUEST_WATCH && r->from &&
	    config_version_era(r->from) != out->era) {
		out->status = PLATFORM_TOO_OLD;
		kq_error_set(&out->error, KQ_LAYER_PLATFORM, out->status,
		    "the version watched from is of another era");
		return 1;
	}
	if (r->batch && r->era != out->era) {
		out->status = PLATFORM_DOWN;
		kq_error_set(&out->error, KQ_LAYER_PLATFORM, out->status,
		    "pages of a list are of two eras");
		return 1;
	}
	return 0;
}
