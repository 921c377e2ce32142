"""Client of a node's operator API."""

from typing import Any

import aiohttp
import orjson

from liftrill.errors import LiftrillError

TIMEOUT_SECONDS = 30.0


class OperatorCallError(LiftrillError):
    """A node refused an operator's call or did not answer.

    Attributes:
        code: number of the result code, or 0 without an answer.
    """

    def __init__(self, message: str, code: int = 0) -> None:
        self.code = code
        super().__init__(message)


class OperatorClient:
    """Calls the operator API of one node as one operator."""

    def __init__(self, session: aiohttp.ClientSession, node: str, key: str, operator: str) -> None:
        self._session = session
        self._base_url = f"http://{node}/operator"
        self._headers = {"Authorization": f"Bearer {key}", "Liftrill-Operator": operator}

    async def call(self, method: str, path: str, content: object = None) -> dict[str, Any]:
        """Return the JSON response to a call.

        Raises:
            OperatorCallError: the node refused the call, or did not answer.
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
        """Submit an intent, confirm its plan and return the new generation."""
        plan = await self.call("POST", "/intents", intent)
        answer = await self.call("POST", f"/plans/{plan['plan_id']}/confirm")
        return int(answer["generation"])
