"""Calls of a node's operator API."""

from typing import Any

import aiohttp
import orjson

from liftrill.errors import LiftrillError

TIMEOUT_SECONDS = 30.0


class OperatorCallError(LiftrillError):
    """A node refused an operator's call or did not answer."""

    def __init__(self, message: str, code: int = 0) -> None:
        self.code = code
        super().__init__(message)


class OperatorClient:
    """Talks to one node."""

    def __init__(self, session: aiohttp.ClientSession, node: str, key: str, name: str) -> None:
        self._session = session
        self._base_url = f"http://{node}/operator"
        self._headers = {"Authorization": f"Bearer {key}", "Liftrill-Operator": name}

    async def call(self, method: str, path: str, content: object = None) -> dict[str, Any]:
        """Return the JSON answer of a call.

        Raises:
            OperatorCallError: the node refused, with its message, or did not answer.
        """
        body = None if content is None else orjson.dumps(content)
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body,
                headers=self._headers,
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS),
            ) as response:
                answer: dict[str, Any] = orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise OperatorCallError(f"{self._base_url}{path}: no answer: {error!r}") from error
        if "error" in answer:
            problem = answer["error"]
            raise OperatorCallError(
                f"{problem['code']} {problem['type']}: {problem['message']}", problem["code"]
            )
        return answer

    async def confirm_intent(self, intent: dict[str, Any]) -> int:
        """State an intent and confirm its plan at once; return the generation."""
        plan = await self.call("POST", "/intents", intent)
        answer = await self.call("POST", f"/plans/{plan['plan_id']}/confirm")
        return int(answer["generation"])
