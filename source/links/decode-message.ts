/**
Decodes and validates the frames received on a link.
*/
import {Unpackr} from 'msgpackr';
import {err, ok, type Result} from 'neverthrow';
import type {Message} from '../generated/messages.js';
import {validateMessages} from '../generated/validators.js';

const unpackr = new Unpackr({useRecords: false, mapsAsObjects: true});

/**
Returns the message in a frame, or the reason why the frame is not a valid message. Never
throws.

@example
```
decodeMessage(frame).match(handle, reason => link.close(reason));
```
*/
export const decodeMessage = (frame: Uint8Array): Result<Message, string> => {
	try {
		const value: unknown = unpackr.unpack(frame);
		return validateMessages(value) ? ok(value as Message) : err('frame is not a message of the protocol');
	} catch (error) {
		return err(`frame is not msgpack: ${(error as Error).message}`);
	}
};
