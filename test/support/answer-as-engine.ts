/**
Answers a stand-in's request as an engine of either role does.
*/
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';

/**
A handle for a prompt that is only to be read, a stream of one event for any other.

@example
```
target.answer = answerAsEngine;
```
*/
export const answerAsEngine: PlatformTargetStandIn['answer'] = (response, {requestId, headers}) => {
	if (headers['x-inference-phase'] === 'prefill') {
		response.writeHead(200, {'content-type': 'application/json', 'x-request-id': requestId});
		response.end(JSON.stringify({kvHandle: `h-${requestId}`, tokens: 17_000, version: 1}));
		return;
	}

	response.writeHead(200, {'x-request-id': requestId, 'x-response-signature': 'proof', 'content-type': 'text/event-stream'});
	response.end('id: 1\ndata: piece\n\n');
};
