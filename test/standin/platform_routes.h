#ifndef STANDIN_PLATFORM_ROUTES_H
#define STANDIN_PLATFORM_ROUTES_H

#include "standin/platform_server.h"

#include <ulfius.h>

/* The HTTP interface of the platform stand-in. */

/** standin_platform_add_routes() - adds the routes to @http; @server must
 * outlive it */
bool standin_platform_add_routes (struct _u_instance *http,
                                  StandinPlatformServerOptions *server);

#endif
