package link

import (
	"foxtaildock.example/dock/claim"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/rpc/linkpb"
)

// HolderMessage converts a holder of a job to its message.
func HolderMessage(h claim.Holder) *linkpb.Holder {
	return &linkpb.Holder{Incarnation: string(h.Incarnation), Address: h.Address, Number: h.Number}
}

// HolderOf converts the message of a holder. It is empty for a message that is nil.
func HolderOf(m *linkpb.Holder) claim.Holder {
	return claim.Holder{Incarnation: ident.Incarnation(m.GetIncarnation()), Address: m.GetAddress(), Number: m.GetNumber()}
}

// HolderMessages converts holders of a job to their messages.
func HolderMessages(holders []claim.Holder) []*linkpb.Holder {
	list := make([]*linkpb.Holder, len(holders))
	for i, h := range holders {
		list[i] = HolderMessage(h)
	}
	return list
}

// HoldersOf converts the messages of holders.
func HoldersOf(messages []*linkpb.Holder) []claim.Holder {
	list := make([]claim.Holder, len(messages))
	for i, m := range messages {
		list[i] = HolderOf(m)
	}
	return list
}
