package buckthornbay.core.routing

import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RouteTableTest {
    private fun route(
        prefix: String,
        public: Boolean = false,
        targets: List<RouteTarget> = listOf(RouteTarget(ServiceId("s"), 1.0)),
    ) = Route(
        name = prefix,
        hostName = "a.example",
        pathPrefix = prefix,
        kind = RouteKind.IDEMPOTENT,
        targets = targets,
        timeoutMillis = 1_000,
        objectiveMillis = 100,
        maxAttempts = 2,
        public = public,
        prefixAffinity = false,
        resumable = false,
        longestPauseMillis = null,
        priority = 0,
    )

    private val split = listOf(RouteTarget(ServiceId("old"), 90.0), RouteTarget(ServiceId("new"), 10.0))
    private val table = RouteTable(
        FleetConfiguration(
            version = 1,
            routes = listOf(route("/a/"), route("/a/b/"), route("/open/", public = true), route("/split/", targets = split)),
            services = emptyList(),
            limits = CallerLimits(),
            workspaces = listOf(WorkspaceKeys(WorkspaceId("w"), setOf("key-1", "key-2"), priority = 1)),
            tokensPerSecond = null,
        ),
    )

    @Test
    fun longestPrefixWins() {
        assertEquals("/a/b/", assertIs<RouteMatch.Found>(table.match("a.example", "/a/b/c", "key-1")).route.name)
        assertEquals("/a/", assertIs<RouteMatch.Found>(table.match("A.EXAMPLE", "/a/x", "key-2")).route.name)
        assertEquals(RouteMatch.NoRoute, table.match("a.example", "/a", "key-1"))
        assertEquals(RouteMatch.NoRoute, table.match("b.example", "/a/x", "key-1"))
    }

    @Test
    fun nonPublicRouteRequiresAKnownKey() {
        assertEquals(RouteMatch.UnknownKey, table.match("a.example", "/a/x", null))
        assertEquals(RouteMatch.UnknownKey, table.match("a.example", "/a/x", "other"))
        assertNull(assertIs<RouteMatch.Found>(table.match("a.example", "/open/x", "other")).workspace)
        assertEquals("w", assertIs<RouteMatch.Found>(table.match("a.example", "/open/x", "key-1")).workspace?.id?.value)
    }

    @Test
    fun splitFollowsTheWeightsAndIsStablePerRequest() {
        val route = assertIs<RouteMatch.Found>(table.match("a.example", "/split/x", "key-1")).route
        val targets = List(2_000) { table.selectService(route, "request-$it")?.value }
        assertTrue(targets.count { it == "new" } in 120..280)
        assertEquals(targets, List(2_000) { table.selectService(route, "request-$it")?.value })
    }
}
