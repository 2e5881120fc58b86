#include "config.h"

uint64_t
config_version(uint64_t era, uint64_t revision)
{
	return era << CONFIG_REVISION_BITS | revision;
}

uint64_t
config_version_era(uint64_t version)
{
	return version >> CONFIG_REVISION_BITS;
}

uint64_t
config_version_revision(uint64_t version)
{
	return version & ((UINT64_C(1) << CONFIG_REVISION_BITS) - 1);
}
