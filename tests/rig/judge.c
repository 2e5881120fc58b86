#include "rig.h"

int
judge(char **files, int n)
{
	(void)files;
	(void)n;
	return 0;
}
