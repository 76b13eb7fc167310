/**
What a frame of a gateway is to a sidecar's attempt table.
*/
import assert from 'node:assert/strict';
import type {AttemptEvent} from '../../source/decisions/attempts/attempt-event.js';
import type {Message} from '../../source/generated/messages.js';

/**
Throws on messages that gateways do not send to sidecars.

@example
```
table.handle(sidecarEvent(message, 'l1'), now);
```
*/
export const sidecarEvent = (message: Message, link: string): AttemptEvent => {
	switch (message.kind) { // eslint-disable-line @typescript-eslint/switch-exhaustiveness-check -- only what a gateway sends
		case 'attempt': {
			return {kind: 'attempt arrived', link, message};
		}

		case 'resume': {
			return {...message, link};
		}

		case 'acknowledge':
		case 'cancel': {
			return message;
		}

		default: {
			return assert.fail(`a gateway sends no ${message.kind}`);
		}
	}
};
