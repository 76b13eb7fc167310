/**
Encodes messages as msgpack frames.
*/
import {Packr} from 'msgpackr';
import type {Message} from '../generated/messages.js';

const packr = new Packr({useRecords: false, variableMapSize: true});

/**
Returns the frame that holds `message`.

@example
```
socket.send(encodeMessage({kind: 'heartbeat'}));
```
*/
export const encodeMessage = (message: Message): Uint8Array => packr.pack(message);
