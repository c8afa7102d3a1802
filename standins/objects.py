"""Stand-in for the platform's object store."""

from aiohttp import web

from standins import registry

__all__ = ["ObjectStore"]


class ObjectStore:
    """Stores objects of bytes by name.

    The fault ``stale`` (a share of reads) answers with the value before the
    last overwrite, or with status 404 if there was none.
    """

    def __init__(self, *, faults):
        self._faults = faults
        self._objects = {}
        self._previous = {}

    def routes(self):
        """Return the routes of the service."""
        return [
            web.get("/objects/{name}", self.get),
            web.put("/objects/{name}", self.put),
            web.delete("/objects/{name}", self.delete),
            web.get("/names", self.names),
        ]

    async def get(self, http):
        """Answer with one object."""
        name = http.match_info["name"]
        is_stale = self._faults.occurs(self._faults.spec.get("stale", 0.0))
        raw = (self._previous if is_stale else self._objects).get(name)
        if raw is None:
            return web.json_response({"error": "no object"}, status=404)
        return web.Response(body=raw, content_type="application/json")

    async def put(self, http):
        """Store one object."""
        name = http.match_info["name"]
        raw = await http.read()
        if name in self._objects:
            self._previous[name] = self._objects[name]
        self._objects[name] = raw
        return web.json_response({"stored": True})

    async def delete(self, http):
        """Delete one object."""
        deleted = self._objects.pop(http.match_info["name"], None)
        if deleted is None:
            return web.json_response({"error": "no object"}, status=404)
        return web.json_response({"deleted": True})

    async def names(self, _http):
        """Answer with the names of all objects, for tests."""
        return web.json_response({"names": sorted(self._objects)})


@registry.KINDS.register("objects")
def objects(spec, faults):
    """Create an object store."""
    return ObjectStore(faults=faults)
