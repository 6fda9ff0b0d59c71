#ifndef STANDIN_PLATFORM_ROUTES_H
#define STANDIN_PLATFORM_ROUTES_H

#include "standin/platform_server.h"

#include <ulfius.h>

/* The calls that the server answers. */

/** standin_platform_add_routes() - @server outlives @http's run */
bool standin_platform_add_routes (struct _u_instance *http,
                                  StandinPlatformServerOptions *server);

#endif
